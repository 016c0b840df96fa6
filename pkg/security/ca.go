package security

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
)

// Names of the PEM files that WriteCA writes and WriteCertificate reads.
const (
	CACertFile = "ca.pem"
	CAKeyFile  = "ca-key.pem"
)

// keyFileMode makes private keys readable by their owner only.
const keyFileMode = 0o600

// clockSkewTolerance is how far the start of a certificate's validity lies in
// the past, so that instances whose clocks are behind accept it.
const clockSkewTolerance = 5 * time.Minute

// WriteCA creates a CA for tests and evaluation and writes its certificate and
// key to dir.
func WriteCA(dir string, validity time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Trace(err)
	}
	template, err := newCertificateTemplate("mangostand test CA", validity)
	if err != nil {
		return errors.Trace(err)
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return errors.Trace(err)
	}
	return writeCertAndKey(dir, CACertFile, CAKeyFile, der, key)
}

// WriteCertificate creates a certificate for name, signed by the CA in dir,
// and writes it to dir as NAME.pem and NAME-key.pem. Its subject alternative
// names are name, addresses and, if isNode is set, PeerServerName, which nodes
// verify.
func WriteCertificate(dir, name string, isNode bool, addresses []net.IP, validity time.Duration) error {
	caCert, caKey, err := readCA(dir)
	if err != nil {
		return errors.Trace(err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Trace(err)
	}
	template, err := newCertificateTemplate(name, validity)
	if err != nil {
		return errors.Trace(err)
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = addresses
	template.DNSNames = []string{name}
	if isNode {
		template.DNSNames = append(template.DNSNames, PeerServerName)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, caCert, &key.PublicKey, caKey)
	if err != nil {
		return errors.Trace(err)
	}
	return writeCertAndKey(dir, name+".pem", name+"-key.pem", der, key)
}

func newCertificateTemplate(commonName string, validity time.Duration) (*x509.Certificate, error) {
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Trace(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(validity),
	}, nil
}

func readCA(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certDER, err := readPEM(filepath.Join(dir, CACertFile))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, nil, errors.Annotate(err, "parsing CA certificate")
	}
	keyDER, err := readPEM(filepath.Join(dir, CAKeyFile))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	if err != nil {
		return nil, nil, errors.Annotate(err, "parsing CA key")
	}
	return cert, key, nil
}

func readPEM(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, errors.Errorf("no PEM block found in %s", path)
	}
	return block.Bytes, nil
}

func writeCertAndKey(dir, certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Trace(err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(filepath.Join(dir, certFile), certPEM, 0o644); err != nil {
		return errors.Trace(err)
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	return errors.Trace(os.WriteFile(filepath.Join(dir, keyFile), keyPEM, keyFileMode))
}
