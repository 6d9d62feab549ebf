package client

import (
	"flag"
	"os"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/operator"
)

// platformFlag registers the -platform flag.
func platformFlag(f *flag.FlagSet, address *string) {
	f.StringVar(address, "platform", "127.0.0.1:7000", "IP address and port of the platform")
}

// loadIntent reads and decodes the intent file that is the only argument.
func loadIntent(f *flag.FlagSet) (*operator.Intent, error) {
	if f.NArg() != 1 {
		return nil, &UsageError{Detail: "exactly one FILE is expected"}
	}
	data, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return nil, err
	}
	return intent.Decode(f.Arg(0), data)
}
