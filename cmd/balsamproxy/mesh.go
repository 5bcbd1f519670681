package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"balsamproxy/core/settings"
	"balsamproxy/io/events"
	"balsamproxy/io/mesh"
	"balsamproxy/platform"
	"balsamproxy/task"
)

// settingsPollInterval is the time between two checks of the settings file for
// changes.
const settingsPollInterval = time.Second

type meshCommand struct {
	Settings string `long:"settings" env:"BALSAMPROXY_CONFIG" required:"true" value-name:"FILE" description:"JSON file with the settings of this host"`

	program *program
}

func (*meshCommand) runsDaemon() {}

// Execute runs a daemon on the platform until the context is cancelled by
// SIGTERM or SIGINT.
func (command *meshCommand) Execute([]string) error {
	data, parsed, err := command.loadSettings()
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(parsed.LogLevel)
	if err != nil {
		return statusErrorf(exitInvalid, "log level: %w", err)
	}
	droppedLines := 0
	output := events.NewWriter(command.program.stdout, func() { droppedLines++ })
	log := zerolog.New(output).Level(level).With().Timestamp().Str("host", string(parsed.Host)).Logger()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	daemon := mesh.New(parsed, log, platform.New(parsed.StoreAddress, log))
	ctx, cancel := context.WithCancel(command.program.ctx)
	defer cancel()
	reloads := make(chan settings.Mesh)
	watchDone := task.Start(ctx, func(ctx context.Context) error { return command.watchSettings(ctx, data, log, reloads) })
	err = daemon.Run(ctx, reloads)
	cancel()
	<-watchDone //nolint:errcheck // it returns only the error of the cancelled context
	if closeErr := output.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (command *meshCommand) loadSettings() ([]byte, settings.Mesh, error) {
	data, err := os.ReadFile(command.Settings)
	if err != nil {
		return nil, settings.Mesh{}, statusErrorf(exitInvalid, "settings: %w", err)
	}
	parsed, faults := settings.ParseMesh(data)
	if len(faults) > 0 {
		return nil, parsed, statusErrorf(exitInvalid, "invalid settings:\n%w", faults)
	}
	return data, parsed, nil
}

// watchSettings reads the settings file at every SIGHUP and every
// settingsPollInterval and sends the settings if the file has changed. If the file
// cannot be read or is invalid, it logs the error and the current settings stay in
// force.
func (command *meshCommand) watchSettings(ctx context.Context, data []byte, log zerolog.Logger, reloads chan<- settings.Mesh) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-command.program.hangups:
		case <-ticker.C:
		}
		current, parsed, err := command.loadSettings()
		if err != nil {
			log.Error().Str("event", "settings-refused").Err(err).Send()
			continue
		}
		if bytes.Equal(current, data) {
			continue
		}
		data = current
		select {
		case reloads <- parsed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
