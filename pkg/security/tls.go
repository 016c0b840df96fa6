// Package security builds the TLS configurations of all listeners and the
// certificates of a test CA.
package security

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// PeerServerName is the DNS name in the certificate of every node. Nodes are
// dialled by IP number, so the name, not the address, is verified.
const PeerServerName = "mangostand-node"

// PeerALPN is the application protocol of connections between nodes.
const PeerALPN = "mangostand/1"

// TLSFiles names the PEM files of a certificate, its key and the CA that signs
// the certificates of the other side.
type TLSFiles struct {
	Cert string
	Key  string
	CA   string
}

// LoadPeerTLS returns the configurations for connections between nodes. Both
// sides must present a certificate of the fleet's CA that names a node.
func LoadPeerTLS(files TLSFiles) (server, client *tls.Config, err error) {
	cert, pool, err := load(files)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		NextProtos:   []string{PeerALPN},
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(PeerServerName)
		},
	}
	client = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ServerName:   PeerServerName,
		NextProtos:   []string{PeerALPN},
		// Resumption saves the certificate exchange when a peer is dialled again.
		ClientSessionCache: tls.NewLRUClientSessionCache(256),
	}
	return server, client, nil
}

// LoadServerTLS returns the configuration of a listener for callers or
// operators. Client certificates are required when files names a CA.
func LoadServerTLS(files TLSFiles) (*tls.Config, error) {
	cert, pool, err := load(files)
	if err != nil {
		return nil, errors.Trace(err)
	}
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{cert},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if pool != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = pool
	}
	return config, nil
}

func load(files TLSFiles) (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return tls.Certificate{}, nil, errors.Annotatef(err, "loading certificate %s", files.Cert)
	}
	if files.CA == "" {
		return cert, nil, nil
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return tls.Certificate{}, nil, errors.Annotate(err, "loading CA certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return tls.Certificate{}, nil, errors.Errorf("no certificate found in %s", files.CA)
	}
	return cert, pool, nil
}
