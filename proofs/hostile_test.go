package proofs_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy/core/settings"
	"balsamproxy/internal/standin/crowd"
	"balsamproxy/internal/standin/service"
	"balsamproxy/task"
)

const (
	// hostileMemoryMB is memory-mb of the daemons that hostile callers load.
	hostileMemoryMB = 64
	// hostileDescriptors is the descriptor limit of the daemons that many connections
	// load. At most half of it may be connections of callers.
	hostileDescriptors = 128
	// otherDescriptors allows for listeners, links, connections to the store and to
	// targets, and files.
	otherDescriptors = 32
	// crowdSize exceeds the connections that a daemon with hostileDescriptors accepts,
	// largeCrowdSize those of a daemon with hostileMemoryMB.
	crowdSize      = hostileDescriptors/2 + 16
	largeCrowdSize = 300
	busyCrowdSize  = 100
	// unreadBytes is the length of answers that are not read.
	unreadBytes = 1 << 20
	// hostilePause is how long hostile callers play before the ordinary request.
	hostilePause = 1500 * time.Millisecond
)

// buildPlain builds the program without the race detector, which multiplies the memory of a
// process.
func buildPlain(t *testing.T) string {
	t.Helper()
	built := filepath.Join(t.TempDir(), "balsamproxy")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", built, "balsamproxy/cmd/balsamproxy")
	build.Stderr = os.Stderr
	assert.NilError(t, build.Run())
	return built
}

// hostileFleet starts two daemons with limits; the targets are beside the second one.
func hostileFleet(t *testing.T, adjust func(*daemon)) (*fleet, *service.Server) {
	t.Helper()
	fleet := newFleet(t, 2)
	plain := buildPlain(t)
	for _, daemon := range fleet.daemons {
		daemon.settings.Limits = settings.Limits{MemoryMB: hostileMemoryMB}
		daemon.writeSettings(t)
		daemon.program = plain
		adjust(daemon)
	}
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	target := fleet.startTarget(fleet.daemons[1], "venues")
	fleet.startTarget(fleet.daemons[1], "bookings")
	fleet.awaitStatus(fleet.daemons[0], http.MethodGet, "/venues/a", http.StatusOK)
	fleet.awaitStatus(fleet.daemons[0], http.MethodPost, "/bookings/a", http.StatusOK)
	return fleet, target
}

// play lets a crowd play at the first daemon while the test goes on.
func (fleet *fleet) play(t *testing.T, size int, play crowd.Play) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	address := fleet.daemons[0].settings.CallerAddress
	ended := task.Start(ctx, func(ctx context.Context) error { return crowd.Run(ctx, address, size, play) })
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	time.Sleep(hostilePause)
}

// checkAnswers checks that an ordinary request is answered while the crowd goes on, and
// that all daemons stay within their memory and the first one within its descriptors.
func (fleet *fleet) checkAnswers(t *testing.T) {
	t.Helper()
	http.DefaultClient.CloseIdleConnections()
	response := do(t, http.MethodGet, "http://"+fleet.daemons[0].settings.CallerAddress+"/venues/a", nil, bearerHeader(goodSecret))
	assert.Check(t, response.status == http.StatusOK, "the ordinary request: status %d %s %v", response.status, response.reason, response.err)
	for _, daemon := range fleet.daemons {
		peak := daemon.peakMB(t)
		t.Logf("%s: peak %d MB", daemon.settings.Host, peak)
		assert.Check(t, peak <= hostileMemoryMB, "%s: peak %d MB, allowed are %d", daemon.settings.Host, peak, hostileMemoryMB)
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", fleet.daemons[0].process.Process.Pid))
	assert.NilError(t, err)
	if limit := fleet.daemons[0].descriptors; limit > 0 {
		assert.Check(t, len(entries) <= limit/2+otherDescriptors, "%d descriptors", len(entries))
	}
}

// peakMB returns the peak resident memory of a daemon in megabytes. It fails if the process
// has ended.
func (daemon *daemon) peakMB(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", daemon.process.Process.Pid))
	assert.NilError(t, err)
	_, text, found := strings.Cut(string(data), "VmHWM:")
	assert.Assert(t, found, "the process has ended")
	kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
	assert.NilError(t, err)
	return (kilobytes + 1023) / 1024
}

// head returns the head of a request up to the framing of its body.
func head(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: one.example\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\n",
		method, path, goodSecret, newIdempotencyKey())
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// TestHostileCallers guards against callers that use up the connections, the memory or the
// processor time of a daemon, so that it ends or that others get no answer.
func TestHostileCallers(t *testing.T) {
	order := head(http.MethodPost, "/bookings/a")
	upload := head(http.MethodPost, "/open/a")
	fewDescriptors := func(daemon *daemon) { daemon.descriptors = hostileDescriptors }
	oneCore := func(daemon *daemon) { daemon.environment = []string{"GOMAXPROCS=1"} }
	unlimited := func(*daemon) {}
	cases := map[string]struct {
		adjust func(*daemon)
		size   int
		play   crowd.Play
	}{
		"idle":             {fewDescriptors, crowdSize, crowd.Unended("")},
		"dribbled head":    {fewDescriptors, crowdSize, crowd.Dribble(upload+"X-Long: ", "x")},
		"dribbled body":    {fewDescriptors, crowdSize, crowd.Dribble(upload+chunked, "1\r\nx\r\n")},
		"dribbled order":   {fewDescriptors, crowdSize, crowd.Dribble(order+"Content-Length: 50000\r\n\r\n", "x")},
		"steady body":      {fewDescriptors, crowdSize, crowd.Dribble(upload+chunked, crowd.Chunks(1, 4<<10))},
		"dribbled trailer": {fewDescriptors, crowdSize, crowd.Dribble(upload+chunked+"1\r\nx\r\n0\r\nX-Long: ", "x")},
		"reconnects":       {fewDescriptors, crowdSize, crowd.Reconnect(upload)},
		"unended orders":   {unlimited, largeCrowdSize, crowd.Unended(order + chunked + crowd.Chunks(15, 64<<10))},
		"unended uploads":  {unlimited, largeCrowdSize, crowd.Unended(upload + chunked + crowd.Chunks(1, 64<<10))},
		"tiny chunks":      {oneCore, busyCrowdSize, crowd.TinyChunks(upload + chunked)},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fleet, _ := hostileFleet(t, test.adjust)
			fleet.play(t, test.size, test.play)
			fleet.checkAnswers(t)
		})
	}
}

// TestUnreadAnswers guards against callers that do not read, and so use up the memory of the
// daemons or the slots of a target.
func TestUnreadAnswers(t *testing.T) {
	fleet, target := hostileFleet(t, func(*daemon) {})
	answer := strings.Repeat("x", unreadBytes)
	target.Hook(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/open/") {
			_, _ = io.WriteString(writer, answer)
		}
	})
	fleet.play(t, largeCrowdSize, crowd.Unread(func() []string {
		return []string{head(http.MethodGet, "/open/a") + "\r\n"}
	}))
	fleet.checkAnswers(t)
}
