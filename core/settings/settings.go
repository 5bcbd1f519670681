// Package settings parses and validates the local settings of a daemon.
package settings

import (
	"net"
	"net/url"
	"regexp"
	"slices"
	"time"

	"balsamproxy"
	"balsamproxy/core/strictjson"
)

// Defaults and limits of the settings.
const (
	DefaultStorePrefix     = "/balsamproxy/"
	DefaultLogLevel        = "info"
	DefaultShutdownGraceMS = 30_000
	maxShutdownGraceMS     = 600_000
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	digestPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Settings are the local settings that a daemon needs before it can reach the
// store.
type Settings struct {
	Host       balsamproxy.HostID       `json:"host"`
	DataCentre balsamproxy.DataCentreID `json:"data-centre"`
	// CallerAddress, PeerAddress and OperatorAddress are in the form IP:port.
	CallerAddress string `json:"caller-address"`
	PeerAddress   string `json:"peer-address"`
	// TargetAddress is an IP:port on loopback for the targets of this host.
	TargetAddress   string   `json:"target-address"`
	OperatorAddress string   `json:"operator-address"`
	StoreAddresses  []string `json:"store-addresses"`
	StorePrefix     string   `json:"store-prefix,omitempty"`
	// PeerTLS is used for mutual TLS between daemons.
	PeerTLS Certificate `json:"peer-tls,omitzero"`
	// CallerTLS and OperatorTLS are used by the listeners for callers and
	// operators.
	CallerTLS   Certificate `json:"caller-tls,omitzero"`
	OperatorTLS Certificate `json:"operator-tls,omitzero"`
	// OperatorTokenDigest is "sha256:" followed by 64 lower-case hex digits; if
	// empty, the daemon rejects all operator commands.
	OperatorTokenDigest string `json:"operator-token-digest,omitempty"`
	// AllowPlain permits connections and listeners without TLS, but only on
	// loopback addresses.
	AllowPlain bool `json:"allow-plain,omitempty"`
	// ShutdownGraceMS limits the time of a graceful shutdown, in milliseconds.
	ShutdownGraceMS int `json:"shutdown-grace-ms,omitempty"`
	Limits
	LogLevel string `json:"log-level,omitempty"`
}

// Certificate holds the file names of a TLS certificate and private key.
type Certificate struct {
	CertificateFile string `json:"certificate-file,omitempty"`
	PrivateKeyFile  string `json:"private-key-file,omitempty"`
	// AuthorityFile has the CA certificates for verifying peers.
	AuthorityFile string `json:"authority-file,omitempty"`
}

// Empty reports whether no file name is set.
func (certificate Certificate) Empty() bool { return certificate == Certificate{} }

// ShutdownGraceDuration returns ShutdownGraceMS as a time.Duration.
func (settings Settings) ShutdownGraceDuration() time.Duration {
	return time.Duration(settings.ShutdownGraceMS) * time.Millisecond
}

// Parse decodes and validates the settings, with defaults for fields that are
// absent. It returns all faults found; the settings are usable only if there are
// none.
func Parse(data []byte) (Settings, strictjson.Faults) {
	settings := Settings{
		StorePrefix:     DefaultStorePrefix,
		LogLevel:        DefaultLogLevel,
		ShutdownGraceMS: DefaultShutdownGraceMS,
	}
	faults := strictjson.Decode(data, &settings)
	if len(faults) > 0 {
		return settings, faults
	}
	return settings, settings.check()
}

func (settings Settings) check() strictjson.Faults {
	var faults strictjson.Faults
	checkName(&faults, "/host", string(settings.Host))
	checkName(&faults, "/data-centre", string(settings.DataCentre))
	checkAddress(&faults, "/caller-address", settings.CallerAddress)
	checkAddress(&faults, "/peer-address", settings.PeerAddress)
	checkAddress(&faults, "/target-address", settings.TargetAddress)
	checkAddress(&faults, "/operator-address", settings.OperatorAddress)
	settings.checkTargetLoopback(&faults)
	settings.checkStoreAddresses(&faults)
	settings.checkTLS(&faults)
	settings.checkLimits(&faults)
	checkLogLevel(&faults, settings.LogLevel)
	if settings.OperatorTokenDigest != "" && !digestPattern.MatchString(settings.OperatorTokenDigest) {
		faults.Add("/operator-token-digest", "must be \"sha256:\" and 64 lower-case hex digits")
	}
	if settings.ShutdownGraceMS < 1 || settings.ShutdownGraceMS > maxShutdownGraceMS {
		faults.Add("/shutdown-grace-ms", "%d is not between 1 and %d", settings.ShutdownGraceMS, maxShutdownGraceMS)
	}
	return faults
}

func checkLogLevel(faults *strictjson.Faults, level string) {
	if !slices.Contains(logLevels, level) {
		faults.Add("/log-level", "%q must be one of %v", level, logLevels)
	}
}

func checkName(faults *strictjson.Faults, pointer, name string) {
	if !namePattern.MatchString(name) {
		faults.Add(pointer, "%q is no name: 1 to 63 of a-z, 0-9 and inner hyphens", name)
	}
}

func checkAddress(faults *strictjson.Faults, pointer, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
		faults.Add(pointer, "%q must be an IP number and a port, as 10.0.0.1:8080", address)
	}
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func (settings Settings) checkTargetLoopback(faults *strictjson.Faults) {
	if !isLoopback(settings.TargetAddress) {
		faults.Add("/target-address", "%q must be on loopback: only targets of this host use it", settings.TargetAddress)
	}
}

func (settings Settings) checkStoreAddresses(faults *strictjson.Faults) {
	if len(settings.StoreAddresses) == 0 {
		faults.Add("/store-addresses", "must name at least one address")
	}
	for index, address := range settings.StoreAddresses {
		parsed, err := url.Parse(address)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			faults.Add(strictjson.Child("/store-addresses", index), "%q must be an http or https URL", address)
		}
	}
	if settings.StorePrefix == "" || settings.StorePrefix[0] != '/' || settings.StorePrefix[len(settings.StorePrefix)-1] != '/' {
		faults.Add("/store-prefix", "%q must begin and end with a slash", settings.StorePrefix)
	}
}

func (settings Settings) checkTLS(faults *strictjson.Faults) {
	checkCertificate(faults, "/peer-tls", settings.PeerTLS, true)
	checkCertificate(faults, "/caller-tls", settings.CallerTLS, false)
	checkCertificate(faults, "/operator-tls", settings.OperatorTLS, false)
	settings.checkPlaintext(faults, "/peer-tls", settings.PeerTLS, settings.PeerAddress)
	settings.checkPlaintext(faults, "/caller-tls", settings.CallerTLS, settings.CallerAddress)
	settings.checkPlaintext(faults, "/operator-tls", settings.OperatorTLS, settings.OperatorAddress)
}

func checkCertificate(faults *strictjson.Faults, pointer string, certificate Certificate, mutual bool) {
	if certificate.Empty() {
		return
	}
	if certificate.CertificateFile == "" {
		faults.Add(pointer+"/certificate-file", "is missing")
	}
	if certificate.PrivateKeyFile == "" {
		faults.Add(pointer+"/private-key-file", "is missing")
	}
	if mutual && certificate.AuthorityFile == "" {
		faults.Add(pointer+"/authority-file", "is missing")
	}
}

func (settings Settings) checkPlaintext(faults *strictjson.Faults, pointer string, certificate Certificate, address string) {
	if !certificate.Empty() {
		return
	}
	if settings.AllowPlain && isLoopback(address) {
		return
	}
	faults.Add(pointer, "is missing; %s may go without TLS only on loopback with allow-plain", address)
}
