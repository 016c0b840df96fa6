package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

const (
	defaultNode = "http://127.0.0.1:7071"
	// maxNodeAnswer bounds the answer of a node in bytes; the status of 600
	// instances takes about 300 KB.
	maxNodeAnswer = 16 << 20
)

// nodeClient talks to the operators' listener of a node.
type nodeClient struct {
	url string
	// ca, cert and key name the PEM files for a listener that uses TLS.
	ca, cert, key string
}

func newNodeClient() *nodeClient { return &nodeClient{url: defaultNode} }

func (n *nodeClient) flags(c *flaggy.Subcommand) {
	c.String(&n.url, "n", "node", "URL of the node's operators' listener")
	c.String(&n.ca, "", "ca", "CA certificate of the node (PEM), for https")
	c.String(&n.cert, "", "cert", "own certificate (PEM), when the node asks for one")
	c.String(&n.key, "", "key", "key of the own certificate (PEM)")
}

// call sends a request and decodes the answer unless answer is nil. It returns
// errBadInput when the node says that the request is not valid.
func (n *nodeClient) call(ctx context.Context, method, path string, answer any) error {
	data, err := n.send(ctx, method, path, nil)
	if err != nil || answer == nil {
		return errors.Trace(err)
	}
	return errors.Annotate(json.Unmarshal(data, answer), "answer of the node")
}

// send sends a request and returns the body of a successful answer. Its errors
// are those of call.
func (n *nodeClient) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	config, err := n.tlsConfig()
	if err != nil {
		return nil, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(n.url, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithType(err, errBadInput)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Annotate(err, "node does not answer")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxNodeAnswer))
	if err != nil {
		return nil, errors.Annotate(err, "reading the answer")
	}
	text := strings.TrimSpace(string(data))
	switch {
	case resp.StatusCode == http.StatusBadRequest:
		return nil, errors.WithType(errors.New(text), errBadInput)
	case resp.StatusCode >= http.StatusMultipleChoices:
		return nil, errors.Errorf("node answered %s: %s", resp.Status, text)
	}
	return data, nil
}

func (n *nodeClient) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if n.ca != "" {
		pem, err := os.ReadFile(n.ca)
		if err != nil {
			return nil, errors.WithType(err, errBadInput)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.WithType(errors.Errorf("no certificate found in %s", n.ca), errBadInput)
		}
	}
	if n.cert != "" || n.key != "" {
		pair, err := tls.LoadX509KeyPair(n.cert, n.key)
		if err != nil {
			return nil, errors.WithType(errors.Annotate(err, "own certificate"), errBadInput)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}
