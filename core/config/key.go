package config

import (
	"encoding/base64"
	"encoding/hex"
	"regexp"
)

// SecretPrefix is the prefix of every secret. It lets ContainsSecret recognise
// a secret in any text.
const SecretPrefix = "bpk_"

// SecretBytes is the number of random bytes in a secret.
const SecretBytes = 32

var secretPattern = regexp.MustCompile(SecretPrefix + `[A-Za-z0-9_-]{43}`)

// NewSecret encodes random bytes as a secret.
func NewSecret(random [SecretBytes]byte) string {
	return SecretPrefix + base64.RawURLEncoding.EncodeToString(random[:])
}

// FormatDigest returns the digest of a secret in the format of Key.Digest.
func FormatDigest(secret string) string {
	digest := DigestOf(secret)
	return digestPrefix + hex.EncodeToString(digest[:])
}

// ContainsSecret reports whether a text contains a string in the format of a
// secret.
func ContainsSecret(text string) bool {
	return secretPattern.MatchString(text)
}
