package e2e

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/basillink/basillink/internal/client"
	"github.com/basillink/basillink/internal/daemon"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/testwait"
)

// session runs one instance, a stand-in platform and stand-in targets in this process and executes the commands of a golden
// file.
type session struct {
	t             *testing.T
	expandNames   *strings.Replacer // replaces the names in a golden file with addresses
	maskAddresses *strings.Replacer // replaces addresses in the output with those names
	caller        string
	admin         string
	log           *standin.Log
	targets       []*standin.Target
	stop          context.CancelFunc
	exited        chan error
	pending       map[string]<-chan *rawAnswer
	lastTicket    string // ticket of the last answer that carried one
	usedTicket    string // ticket of the last request that carried one
	sequence      int
}

// Guards against unintended changes in what callers and operators observe, from the start of an instance to its exit.
func TestSession(t *testing.T) {
	datadriven.Walk(t, "testdata/session", func(t *testing.T, path string) {
		s := newSession(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.maskAddresses.Replace(s.runCommand(d))
		})
	})
}

func newSession(t *testing.T) *session {
	t.Helper()
	addresses := freeAddresses(t, 4)
	s := &session{
		t: t, caller: addresses[0], admin: addresses[1], log: standin.NewLog(),
		exited: make(chan error, 1), pending: map[string]<-chan *rawAnswer{},
	}
	platformServer := standin.NewPlatformServer(addresses[3], s.log, standin.NewInstanceList(0))
	if err := platformServer.Listen(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = platformServer.Run() }()
	t.Cleanup(func() { _ = platformServer.Shutdown(context.Background()) })
	names := []string{"<caller>", addresses[0], "<admin>", addresses[1], "<peer>", addresses[2], "<platform>", addresses[3]}
	for i := range 2 {
		names = append(names, fmt.Sprintf("<target-%d>", i+1), s.startTarget())
	}
	s.expandNames = strings.NewReplacer(names...)
	slices.Reverse(names)
	s.maskAddresses = strings.NewReplacer(names...)
	s.startInstance(addresses)
	return s
}

func (s *session) startTarget() string {
	target, err := standin.NewTarget("127.0.0.1:0", 4)
	if err != nil {
		s.t.Fatal(err)
	}
	go func() { _ = target.Run() }()
	s.t.Cleanup(func() { _ = target.Close() })
	s.targets = append(s.targets, target)
	return target.Address()
}

func (s *session) startInstance(addresses []string) {
	file := writeSettings(s.t, "i1", addresses[3], addresses[:3])
	loaded, err := settings.Load(file)
	if err != nil {
		s.t.Fatal(err)
	}
	instance, err := daemon.New(loaded, slog.New(slog.DiscardHandler))
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.t.Cleanup(stop)
	go func() { s.exited <- instance.Run(ctx) }()
	testwait.Until(s.t, "a live instance", func() bool { return (<-getAsync(s.admin, "/livez")).status == http.StatusOK })
}

// runCommand executes one command of a golden file and returns its output.
func (s *session) runCommand(d *datadriven.TestData) string {
	switch d.Cmd {
	case "publish":
		return s.publish(d)
	case "cli":
		return s.runClient(strings.Fields(s.expandNames.Replace(d.Input)))
	case "request":
		return s.format(s.send(d))
	case "start":
		return s.startRequest(d)
	case "finish":
		return s.format(<-s.pending[d.CmdArgs[0].Key])
	case "raw":
		return s.sendRawRequest(d.Input)
	case "admin":
		a := <-getAsync(s.admin, d.CmdArgs[0].Key)
		return fmt.Sprintf("%d\n%s", a.status, a.body)
	case "faults":
		return s.faults(d)
	case "executions":
		return s.executions()
	case "drain":
		s.stop()
		testwait.Until(s.t, "the instance to drain", func() bool { return (<-getAsync(s.admin, "/readyz")).status == http.StatusServiceUnavailable })
		return ""
	case "exit":
		return fmt.Sprintf("error: %v\n", <-s.exited)
	}
	s.t.Fatalf("unknown command %q in golden file", d.Cmd)
	return ""
}

// publish publishes the intent in the input with the client and waits until the instance has read the log to its end.
func (s *session) publish(d *datadriven.TestData) string {
	file := filepath.Join(s.t.TempDir(), "intent.toml")
	if err := os.WriteFile(file, []byte(s.expandNames.Replace(d.Input)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	out := s.runClient([]string{"publish", "-platform", s.expandNames.Replace("<platform>"), "-author", "asha", file})
	s.awaitLog()
	return strings.ReplaceAll(out, file, "intent.toml")
}

func (s *session) awaitLog() {
	page, err := s.log.Read(s.t.Context(), 1, 1, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	testwait.Until(s.t, "the instance to read the log to its end", func() bool {
		status, err := client.Status(s.t.Context(), s.admin)
		return err == nil && status.AppliedOffset+1 >= page.Next && (page.Next == 1 || status.Ready)
	})
}

// runClient runs a command of the operators' client and returns its output and exit status.
func (s *session) runClient(arguments []string) string {
	status, output := runClientCommand(s.t, arguments...)
	return fmt.Sprintf("%sexit status %d\n", output, status)
}

// send sends a request. The command's arguments are the method and the URI; its input holds the header lines and, after an
// empty line, the body.
func (s *session) send(d *datadriven.TestData) *rawAnswer {
	headers, body, _ := strings.Cut(d.Input, "\n\n")
	s.sequence++
	request, err := http.NewRequest(d.CmdArgs[0].Key, "http://"+s.caller+d.CmdArgs[1].String(), strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set(standin.TokenHeader, fmt.Sprintf("t%d", s.sequence))
	for _, line := range strings.Split(headers, "\n") {
		if name, value, ok := strings.Cut(line, ": "); ok {
			request.Header.Set(name, strings.NewReplacer("$ticket", s.lastTicket, "$used", s.usedTicket).Replace(value))
		}
	}
	if ticket := request.Header.Get(header.Ticket); ticket != "" {
		s.usedTicket = ticket
	}
	// Each request gets a new connection, because net/http retries requests on reused connections that break.
	httpClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := httpClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response)
}

// startRequest sends a request in the background and waits until a target runs it.
func (s *session) startRequest(d *datadriven.TestData) string {
	name := d.CmdArgs[0].Key
	d.CmdArgs = d.CmdArgs[1:]
	result := make(chan *rawAnswer, 1)
	s.pending[name] = result
	before := s.inFlight()
	go func() { result <- s.send(d) }()
	testwait.Until(s.t, "a request in flight", func() bool { return s.inFlight() > before })
	return ""
}

func (s *session) inFlight() int64 {
	var sum int64
	for _, target := range s.targets {
		sum += target.InFlight()
	}
	return sum
}

// sendRawRequest sends the input with CRLF line ends and an empty line after it, and returns the formatted answer.
func (s *session) sendRawRequest(input string) string {
	answer, err := sendRaw(s.caller, strings.ReplaceAll(input, "\n", "\r\n")+"\r\n\r\n")
	if err != nil {
		return "no answer\n"
	}
	return s.format(answer)
}

// format formats an answer for the golden file: its status, the protocol's headers and the body. Tickets are masked.
func (s *session) format(answer *rawAnswer) string {
	var b strings.Builder
	fmt.Fprintln(&b, answer.status)
	for _, name := range []string{header.Outcome, header.Reason, header.Instance} {
		if value := answer.header.Get(name); value != "" {
			fmt.Fprintf(&b, "%s: %s\n", name, value)
		}
	}
	if ticket := answer.header.Get(header.NextTicket); ticket != "" {
		s.lastTicket = ticket
		fmt.Fprintf(&b, "%s: <ticket>\n", header.NextTicket)
	}
	body := answer.body
	if s.lastTicket != "" {
		body = strings.ReplaceAll(body, s.lastTicket, "<ticket>")
	}
	fmt.Fprintf(&b, "%s\n", strings.TrimRight(body, "\n"))
	if answer.err != nil {
		fmt.Fprintf(&b, "broken transfer\n")
	}
	return b.String()
}

// faults replaces the faults of all targets by those that the command's arguments name.
func (s *session) faults(d *datadriven.TestData) string {
	var f standin.TargetFaults
	for _, argument := range d.CmdArgs {
		switch argument.Key {
		case "reject":
			f.RejectAll = true
		case "service":
			service, err := time.ParseDuration(argument.Vals[0])
			if err != nil {
				s.t.Fatal(err)
			}
			f.ServiceTime = service
		}
	}
	for _, target := range s.targets {
		target.SetFaults(f)
	}
	return ""
}

// executions lists how often each request ran, summed over all targets.
func (s *session) executions() string {
	runs := map[string]int{}
	for _, target := range s.targets {
		for token, count := range target.Executions() {
			runs[token] += count
		}
	}
	var lines []string
	for token, count := range runs {
		lines = append(lines, fmt.Sprintf("%s: %d\n", token, count))
	}
	slices.SortFunc(lines, func(a, b string) int {
		if len(a) != len(b) {
			return len(a) - len(b)
		}
		return strings.Compare(a, b)
	})
	return strings.Join(lines, "")
}
