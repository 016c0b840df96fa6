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
	defaultNodeURL = "http://127.0.0.1:7071"
	// maxResponseBytes limits the response of a node; the status of a fleet of 600
	// instances takes about 300 KB.
	maxResponseBytes = 16 << 20
)

// nodeClient is a client of the operators' API of a node.
type nodeClient struct {
	baseURL string
	// caFile, certFile and keyFile are the paths of the PEM files for a listener
	// that uses TLS.
	caFile, certFile, keyFile string
}

func newNodeClient() *nodeClient { return &nodeClient{baseURL: defaultNodeURL} }

func (n *nodeClient) addFlags(c *flaggy.Subcommand) { n.addFlagsFor(c, "operators' listener") }

// addFlagsFor adds the flags for a listener other than the operators' one.
func (n *nodeClient) addFlagsFor(c *flaggy.Subcommand, listener string) {
	c.String(&n.baseURL, "n", "node", "URL of the node's "+listener)
	c.String(&n.caFile, "", "ca", "CA certificate of the node (PEM), for https")
	c.String(&n.certFile, "", "cert", "own certificate (PEM), when the node asks for one")
	c.String(&n.keyFile, "", "key", "key of the own certificate (PEM)")
}

// sendJSON sends a request and decodes the JSON response unless response is nil. Its
// errors are those of send.
func (n *nodeClient) sendJSON(ctx context.Context, method, path string, response any) error {
	data, err := n.send(ctx, method, path, nil)
	if err != nil || response == nil {
		return errors.Trace(err)
	}
	return errors.Annotate(json.Unmarshal(data, response), "answer of the node")
}

// send sends a request and returns the body of a successful response. The
// error is errBadInput when the URL or a TLS file is invalid, or when the node
// responds with status 400.
func (n *nodeClient) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	config, err := n.tlsConfig()
	if err != nil {
		return nil, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(n.baseURL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithType(err, errBadInput)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Annotate(err, "node does not answer")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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
	if n.caFile != "" {
		pem, err := os.ReadFile(n.caFile)
		if err != nil {
			return nil, errors.WithType(err, errBadInput)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.WithType(errors.Errorf("no certificate found in %s", n.caFile), errBadInput)
		}
	}
	if n.certFile != "" || n.keyFile != "" {
		pair, err := tls.LoadX509KeyPair(n.certFile, n.keyFile)
		if err != nil {
			return nil, errors.WithType(errors.Annotate(err, "own certificate"), errBadInput)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}
