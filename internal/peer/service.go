package peer

import (
	"context"
	"slices"

	"github.com/basillink/basillink/internal/logservice"
)

// pageBytes is the share of a message that a page of a pull uses.
const pageBytes = 48 << 10

// PullRequest asks for the page of a snapshot. Fields are only ever added.
type PullRequest struct {
	// Kind asks for all rumors of a kind; empty asks for the configuration.
	Kind Kind
	// After is the offset beyond which the configuration is wanted.
	After logservice.Offset
	// Through is the offset of the snapshot whose first page was received, 0 for the first page.
	Through logservice.Offset
	// Start is the index of the first byte or rumor that is wanted.
	Start int
}

// PullAnswer is one page. Fields are only ever added.
type PullAnswer struct {
	Through logservice.Offset
	// Size is the number of bytes or rumors of the whole snapshot.
	Size   int
	Data   []byte
	Rumors []Rumor
}

// CloseAnswer confirms a part of a closing record.
type CloseAnswer struct{}

// Service holds the calls of net/rpc. Its methods run on the goroutines of net/rpc and reach state only through the
// node's owner.
type Service struct{ node *Node }

// Exchange handles a gossip message.
func (s *Service) Exchange(request Exchange, answer *Exchange) error {
	n := s.node
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return n.config.Executor.Do(ctx, func() {
		*answer = n.gossip.HandleRequest(n.now(), request)
		n.compare(request, request.Address)
		n.publishMembers()
	})
}

// Pull returns a page of a snapshot.
func (s *Service) Pull(request PullRequest, answer *PullAnswer) error {
	n := s.node
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var err error
	doErr := n.config.Executor.Do(ctx, func() {
		if request.Kind == "" {
			err = n.configurationPage(request, answer)
			return
		}
		n.rumorPage(request, answer)
	})
	if doErr != nil {
		return doErr
	}
	return err
}

// Close takes a part of a closing record.
func (s *Service) Close(record ClosingRecord, _ *CloseAnswer) error {
	n := s.node
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return n.config.Executor.Do(ctx, func() {
		if n.onClose != nil {
			n.onClose(record)
		}
	})
}

// snapshot is the encoded configuration that the last pull asked for.
type snapshot struct {
	after, through logservice.Offset
	data           []byte
}

func (n *Node) configurationPage(request PullRequest, answer *PullAnswer) error {
	through := n.config.Configuration.AppliedOffset()
	if request.Through != 0 && request.Through != through {
		return &SnapshotChangedError{Address: n.config.Self.PeerAddress}
	}
	if n.encoded.data == nil || n.encoded.after != request.After || n.encoded.through != through {
		data, err := n.config.Configuration.Delta(request.After).Encode()
		if err != nil {
			return err
		}
		n.encoded = snapshot{after: request.After, through: through, data: data}
	}
	data := n.encoded.data
	start := min(max(0, request.Start), len(data))
	*answer = PullAnswer{Through: through, Size: len(data), Data: data[start:min(len(data), start+pageBytes)]}
	return nil
}

func (n *Node) rumorPage(request PullRequest, answer *PullAnswer) {
	rumors := n.listRumors(request.Kind)
	answer.Size = len(rumors)
	bytes := 0
	for _, r := range rumors[min(max(0, request.Start), len(rumors)):] {
		bytes += r.bytes()
		if bytes > pageBytes {
			return
		}
		answer.Rumors = append(answer.Rumors, r)
	}
}

func (n *Node) listRumors(kind Kind) []Rumor {
	if kind == KindMember {
		return n.gossip.LiveMemberRumors()
	}
	handler := n.gossip.handlers[kind]
	if handler.List == nil {
		return nil
	}
	rumors := handler.List()
	slices.SortFunc(rumors, func(a, b Rumor) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return rumors
}
