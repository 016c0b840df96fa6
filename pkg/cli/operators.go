package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// maxStatusSize bounds the answer of a node in bytes; the status of 600
// instances takes about 300 KB.
const maxStatusSize = 16 << 20

// operatorsClient calls the operators' listener of one node.
type operatorsClient struct {
	node string
	// ca, cert and key are needed when the listener uses TLS.
	ca, cert, key string
}

func newOperatorsClient() *operatorsClient {
	return &operatorsClient{node: "http://127.0.0.1:7071"}
}

func (o *operatorsClient) flags(c *flaggy.Subcommand) {
	c.String(&o.node, "n", "node", "URL of the node's operators' listener")
	c.String(&o.ca, "", "ca", "CA certificate of the node (PEM), for https")
	c.String(&o.cert, "", "cert", "own certificate (PEM), when the node asks for one")
	c.String(&o.key, "", "key", "key of the own certificate (PEM)")
}

// call sends one request and returns the body of a successful answer.
func (o *operatorsClient) call(method, path string, body []byte) ([]byte, error) {
	transport, err := o.transport()
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(o.node, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return nil, errors.Annotate(err, "node does not answer")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusSize))
	if err != nil {
		return nil, errors.Annotate(err, "reading the answer")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Errorf("node answered %d: %s", resp.StatusCode, strings.TrimSpace(string(data)))
	}
	return data, nil
}

func (o *operatorsClient) transport() (*http.Transport, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if o.ca != "" {
		pem, err := os.ReadFile(o.ca)
		if err != nil {
			return nil, errors.Trace(err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("no certificate found in %s", o.ca)
		}
	}
	if o.cert != "" || o.key != "" {
		cert, err := tls.LoadX509KeyPair(o.cert, o.key)
		if err != nil {
			return nil, errors.Annotate(err, "own certificate")
		}
		config.Certificates = []tls.Certificate{cert}
	}
	return &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}, nil
}
