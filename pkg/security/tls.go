// Package security builds the TLS configurations of all listeners and the
// certificates of a test CA.
package security

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// PeerServerName is the DNS name in the certificate of every node. Nodes dial
// each other by IP address and verify this name instead of the address.
const PeerServerName = "mangostand-node"

// PeerALPN is the ALPN protocol name of connections between nodes.
const PeerALPN = "mangostand/1"

// TLSFiles holds the paths of the PEM files of a certificate, its private key
// and the CA that signs the certificates of the other side.
type TLSFiles struct {
	Cert string
	Key  string
	CA   string
}

// LoadPeerTLS returns the server and client configurations for connections
// between nodes. Both sides must present a certificate that is signed by the
// fleet's CA and valid for PeerServerName.
func LoadPeerTLS(files TLSFiles) (server, client *tls.Config, err error) {
	cert, caPool, err := loadCertificateAndCA(files)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    caPool,
		NextProtos:   []string{PeerALPN},
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(PeerServerName)
		},
	}
	client = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      caPool,
		ServerName:   PeerServerName,
		NextProtos:   []string{PeerALPN},
		// Session resumption saves the certificate exchange on reconnects.
		ClientSessionCache: tls.NewLRUClientSessionCache(256),
	}
	return server, client, nil
}

// LoadServerTLS returns the configuration of a listener for callers or
// operators. Client certificates are required if files names a CA.
func LoadServerTLS(files TLSFiles) (*tls.Config, error) {
	cert, caPool, err := loadCertificateAndCA(files)
	if err != nil {
		return nil, errors.Trace(err)
	}
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{cert},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if caPool != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = caPool
	}
	return config, nil
}

func loadCertificateAndCA(files TLSFiles) (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return tls.Certificate{}, nil, errors.Annotatef(err, "loading certificate %s", files.Cert)
	}
	if files.CA == "" {
		return cert, nil, nil
	}
	caPEM, err := os.ReadFile(files.CA)
	if err != nil {
		return tls.Certificate{}, nil, errors.Annotate(err, "loading CA certificate")
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(caPEM) {
		return tls.Certificate{}, nil, errors.Errorf("no certificate found in %s", files.CA)
	}
	return cert, caPool, nil
}
