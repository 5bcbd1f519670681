// Command balsamproxy runs the overload control daemon of a host. Its other
// subcommands generate keys and validate, show and apply the configuration.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
)

type exitStatus int

// Exit statuses, as documented in docs/operators.
const (
	exitOK exitStatus = iota
	// exitFailed means that the command failed for a reason without a status of
	// its own.
	exitFailed
	// exitInvalid means that the arguments, the settings or the document are
	// invalid.
	exitInvalid
	// exitConflict means that the stored revision is not the given one, because
	// another operator changed the document.
	exitConflict
	// exitOutcomeUnknown means that the document may have been stored, or that it
	// was stored and is not yet in force on every daemon.
	exitOutcomeUnknown
)

// statusError is an error that determines the exit status of the program.
type statusError struct {
	status exitStatus
	cause  error
}

// Error returns the message of the cause.
func (failure *statusError) Error() string { return failure.cause.Error() }

// Unwrap returns the cause.
func (failure *statusError) Unwrap() error { return failure.cause }

// statusErrorf formats an error like fmt.Errorf and attaches an exit status.
func statusErrorf(status exitStatus, format string, args ...any) error {
	return &statusError{status: status, cause: fmt.Errorf(format, args...)}
}

// program holds the global flags and what every subcommand needs to run.
type program struct {
	Version func() `long:"version" description:"Print the version and exit"`

	ctx context.Context
	// hangups receives SIGHUP from the start of the process until its end.
	hangups <-chan os.Signal
	stdin   io.Reader
	stdout  io.Writer
	stderr  io.Writer
}

func main() {
	// The handlers stay until the process has ended. Their default actions would
	// end a daemon that starts, or that stops and still has requests to answer.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	os.Exit(int(run(ctx, os.Args[1:], hangups, os.Stdin, os.Stdout, os.Stderr)))
}

// run parses a command line and executes its subcommand.
func run(ctx context.Context, args []string, hangups <-chan os.Signal, stdin io.Reader, stdout, stderr io.Writer) exitStatus {
	program := &program{ctx: ctx, hangups: hangups, stdin: stdin, stdout: stdout, stderr: stderr}
	program.Version = func() {
		fmt.Fprintln(stdout, "balsamproxy", version())
		os.Exit(int(exitOK))
	}
	parser := flags.NewNamedParser("balsamproxy", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = help
	parser.CommandHandler = execute
	if err := program.register(parser); err != nil {
		fmt.Fprintln(stderr, "balsamproxy:", err)
		return exitFailed
	}
	_, err := parser.ParseArgs(args)
	return reportError(err, stdout, stderr)
}

// daemonRunner is a command that runs until it is told to stop.
type daemonRunner interface {
	flags.Commander
	// runsDaemon marks the command.
	runsDaemon()
}

// execute runs a command. A daemon is not ended by a SIGHUP, nor by a log output
// that nobody reads; other commands are, by default.
func execute(command flags.Commander, args []string) error {
	if command == nil {
		return nil
	}
	if _, isDaemon := command.(daemonRunner); isDaemon {
		signal.Ignore(syscall.SIGPIPE)
	} else {
		signal.Reset(syscall.SIGHUP)
	}
	return command.Execute(args)
}

const help = `An overload control layer for service call graphs.

Examples:
  balsamproxy daemon --settings /etc/balsamproxy/settings.json
  balsamproxy key new
  balsamproxy config check config.json
  balsamproxy config check config.json --in-force former.json --json
  balsamproxy config show --daemon https://10.0.0.1:8443
  balsamproxy config apply config.json --revision 17

Settings of daemon and mesh that bound what callers hold. When one is used up,
callers that send or read slowly go first.
memory-mb: memory of the process in MB (default none)
body-memory-mb: for bodies (default 7/16 of memory-mb, or 64)
connection-memory-mb: for connections, and for requests and calls in flight
besides their bodies (default 1/8 of memory-mb, or 192); beyond it they use
what bodies leave; an eighth of it for heads while they are received
caller-connections: open connections of callers (default 4 for each MB of
memory-mb, or 4096); no more than half of the open files, nor than fit into
connection-memory-mb

Exit status: 0 success, 1 failure, 2 invalid arguments, settings or
document, 3 revision conflict with another operator, 4 outcome unknown or not
yet in force everywhere. Warnings of config check do not change it.

Bash completion: complete -C 'GO_FLAGS_COMPLETION=1 balsamproxy' balsamproxy`

func (program *program) register(parser *flags.Parser) error {
	_, err := parser.AddGroup("Global", "", program)
	if err != nil {
		return err
	}
	_, err = parser.AddCommand("daemon", "Run a daemon", "Run the daemon of this host until SIGTERM.",
		&daemonCommand{program: program})
	if err != nil {
		return err
	}
	_, err = parser.AddCommand("mesh", "Run a daemon on the platform",
		"Run the daemon of this host with the platform's store, until SIGTERM.", &meshCommand{program: program})
	if err != nil {
		return err
	}
	key, err := parser.AddCommand("key", "Make keys", "Make keys of client accounts and of operators.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = key.AddCommand("new", "Make a key", "Print a new secret, once, with the digest for the document.",
		&keyCommand{program: program})
	if err != nil {
		return err
	}
	return program.registerConfig(parser)
}

func (program *program) registerConfig(parser *flags.Parser) error {
	config, err := parser.AddCommand("config", "Handle the configuration", "Check, show or apply the configuration.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = config.AddCommand("check", "Check a document",
		"List the errors of a document, entries and limits that are probably mistakes (warnings), and its differences "+
			"from the version in force. The exit status is 2 if there are errors; warnings do not change it.",
		&checkCommand{program: program})
	if err != nil {
		return err
	}
	_, err = config.AddCommand("show", "Show the document", "Print the stored document and its revision.",
		&showCommand{program: program})
	if err != nil {
		return err
	}
	_, err = config.AddCommand("apply", "Apply a document", "Replace the document at the revision that you saw.",
		&applyCommand{program: program})
	return err
}

// reportError prints an error and returns the matching exit status. Requested
// help goes to stdout and is no failure.
func reportError(err error, stdout, stderr io.Writer) exitStatus {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, usage.Message)
			return exitOK
		}
		fmt.Fprintln(stderr, "balsamproxy:", usage.Message)
		return exitInvalid
	}
	fmt.Fprintln(stderr, "balsamproxy:", err)
	var failure *statusError
	if errors.As(err, &failure) {
		return failure.status
	}
	return exitFailed
}

// version returns the module version and, if the build recorded it, the VCS
// revision.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return info.Main.Version + " " + setting.Value
		}
	}
	return info.Main.Version
}
