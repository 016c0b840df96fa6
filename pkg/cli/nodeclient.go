package cli

import (
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

// maxNodeAnswer bounds the answer of a node in bytes.
const maxNodeAnswer = 16 << 20

// errNodeNotFound means that the node does not know what was asked for.
const errNodeNotFound = errors.ConstError("not found on the node")

// nodeClient talks to the operators' listener of a node.
type nodeClient struct {
	url           string
	ca, cert, key string
}

func newNodeClient() *nodeClient { return &nodeClient{url: "http://127.0.0.1:7071"} }

func (n *nodeClient) flags(c *flaggy.Subcommand) {
	c.String(&n.url, "n", "node", "URL of the node's operators' listener")
	c.String(&n.ca, "", "ca", "PEM file of the CA of an https node")
	c.String(&n.cert, "", "cert", "PEM file of the operator's certificate")
	c.String(&n.key, "", "key", "PEM file of the operator's key")
}

// call sends a request and decodes the answer unless answer is nil.
func (n *nodeClient) call(ctx context.Context, method, path string, answer any) error {
	client, err := n.client()
	if err != nil {
		return errors.Trace(err)
	}
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(n.url, "/")+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxNodeAnswer))
	if err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode == http.StatusNotFound {
		return errors.Annotate(errNodeNotFound, strings.TrimSpace(string(data)))
	}
	if resp.StatusCode >= 300 {
		return errors.Errorf("node answered %s: %s", resp.Status, strings.TrimSpace(string(data)))
	}
	if answer == nil {
		return nil
	}
	return errors.Annotate(json.Unmarshal(data, answer), "malformed answer of the node")
}

func (n *nodeClient) client() (*http.Client, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if n.ca != "" {
		pem, err := os.ReadFile(n.ca)
		if err != nil {
			return nil, errors.Trace(err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("no certificate found in %s", n.ca)
		}
	}
	if n.cert != "" {
		pair, err := tls.LoadX509KeyPair(n.cert, n.key)
		if err != nil {
			return nil, errors.Trace(err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}, nil
}
