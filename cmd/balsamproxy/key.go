package main

import (
	"crypto/rand"
	"fmt"

	"balsamproxy/core/config"
)

type keyCommand struct {
	program *program
}

// Execute generates a secret and prints it with its digest.
func (command *keyCommand) Execute([]string) error {
	var random [config.SecretBytes]byte
	_, _ = rand.Read(random[:])
	secret := config.NewSecret(random)
	_, err := fmt.Fprintf(command.program.stdout, "secret %s\ndigest %s\n", secret, config.FormatDigest(secret))
	return err
}
