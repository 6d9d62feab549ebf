package devmode

import (
	"fmt"
	"io"
)

// printGuide prints the addresses of the listeners and commands to try.
func printGuide(out io.Writer, a Addresses) {
	_, _ = fmt.Fprintf(out, `basillinkd dev: NOT FOR PRODUCTION. A stand-in platform, sample targets and one instance run in
this process on loopback addresses. Everything is lost when it stops.

  callers   http://%[1]s
  admin     http://%[2]s  (/livez /readyz /status /explain /metrics)
  platform  http://%[3]s

Try:
  curl -i 'http://%[1]s/flightdesk/slots?day=saturday'
  curl -i 'http://%[1]s/banco-app/stock?size=3'
  curl -i 'http://%[1]s/volontari-report/summaries/today'
  curl -i -X POST -d 'channel=72' 'http://%[1]s/flightdesk/reservations'   (428: needs a ticket)
  curl -i -X POST -d 'channel=72' -H "Basillink-Ticket: $(curl -s 'http://%[1]s/.basillink/ticket')" \
    'http://%[1]s/flightdesk/reservations'
  go run ./cmd/basillink explain -admin %[2]s '/flightdesk/slots?day=saturday'
  go run ./cmd/basillink status -platform %[3]s
  go run ./cmd/basillink load -url 'http://%[1]s/flightdesk/slots' -rate 200 -duration 5s

Stop with Ctrl-C.
`, a.Caller, a.Admin, a.Platform)
}
