package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"balsamproxy/core/settings"
	"balsamproxy/io/events"
	"balsamproxy/io/mesh"
	"balsamproxy/platform"
	"balsamproxy/task"
)

// settingsPoll is the time between two looks whether the settings changed.
const settingsPoll = time.Second

type meshCommand struct {
	Settings string `long:"settings" env:"BALSAMPROXY_CONFIG" required:"true" value-name:"FILE" description:"JSON file with the settings of this host"`

	program *program
}

// Execute runs a daemon on the platform until the program is told to end.
func (command *meshCommand) Execute([]string) error {
	data, checked, err := command.read()
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(checked.LogLevel)
	if err != nil {
		return fail(exitInvalid, "log level: %w", err)
	}
	dropped := 0
	output := events.NewWriter(command.program.stdout, func() { dropped++ })
	log := zerolog.New(output).Level(level).With().Timestamp().Str("host", string(checked.Host)).Logger()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	daemon := mesh.New(checked, log, platform.New(checked.StoreAddress, log))
	ctx, cancel := context.WithCancel(command.program.ctx)
	defer cancel()
	reloads := make(chan settings.Mesh)
	watched := task.Start(ctx, func(ctx context.Context) error { return command.watch(ctx, data, log, reloads) })
	err = daemon.Run(ctx, reloads)
	cancel()
	<-watched //nolint:errcheck // it ends with the daemon
	if closing := output.Close(); err == nil {
		err = closing
	}
	return err
}

func (command *meshCommand) read() ([]byte, settings.Mesh, error) {
	data, err := os.ReadFile(command.Settings)
	if err != nil {
		return nil, settings.Mesh{}, fail(exitInvalid, "settings: %w", err)
	}
	checked, faults := settings.ParseMesh(data)
	if len(faults) > 0 {
		return nil, checked, fail(exitInvalid, "settings refused:\n%w", faults)
	}
	return data, checked, nil
}

// watch sends settings that have changed, at SIGHUP or without a signal. What
// cannot be used is logged, and the settings in force stay.
func (command *meshCommand) watch(ctx context.Context, data []byte, log zerolog.Logger, reloads chan<- settings.Mesh) error {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangUps:
		case <-ticker.C:
		}
		found, checked, err := command.read()
		if err != nil {
			log.Error().Str("event", "settings-refused").Err(err).Send()
			continue
		}
		if bytes.Equal(found, data) {
			continue
		}
		data = found
		select {
		case reloads <- checked:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
