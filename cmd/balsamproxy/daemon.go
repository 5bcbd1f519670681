package main

import (
	"os"

	"github.com/rs/zerolog"

	"balsamproxy/core/settings"
	"balsamproxy/io/daemon"
)

type daemonCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON file with the settings of this host"`

	program *program
}

func (*daemonCommand) runsDaemon() {}

// Execute runs a daemon until the context is cancelled by SIGTERM or SIGINT.
func (command *daemonCommand) Execute([]string) error {
	parsed, err := readSettings(command.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(parsed.LogLevel)
	if err != nil {
		return statusErrorf(exitInvalid, "log level: %w", err)
	}
	log := zerolog.New(command.program.stderr).Level(level).With().
		Timestamp().Str("host", string(parsed.Host)).Logger()
	instance, err := daemon.New(parsed, log)
	if err != nil {
		return statusErrorf(exitInvalid, "settings: %w", err)
	}
	return instance.Run(command.program.ctx)
}

func readSettings(name string) (settings.Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return settings.Settings{}, statusErrorf(exitInvalid, "settings: %w", err)
	}
	parsed, faults := settings.Parse(data)
	if len(faults) > 0 {
		return parsed, statusErrorf(exitInvalid, "invalid settings:\n%w", faults)
	}
	return parsed, nil
}
