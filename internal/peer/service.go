package peer

import (
	"context"
	"slices"

	"github.com/basillink/basillink/internal/logservice"
)

// pageBytes is the maximum size of the data or rumors in one page of a pull. It leaves room for the other fields.
const pageBytes = 48 << 10

// PullRequest requests one page of a pull. For compatibility, fields may be added but not changed or removed.
type PullRequest struct {
	// Kind requests all rumors of a kind. If empty, the configuration is requested.
	Kind Kind
	// After requests the changes of the configuration after this offset.
	After logservice.Offset
	// Through is the offset of the configuration snapshot that the first page returned, 0 for the first page.
	Through logservice.Offset
	// Start is the index of the first requested byte or rumor.
	Start int
}

// PullAnswer is one page. For compatibility, fields may be added but not changed or removed.
type PullAnswer struct {
	Through logservice.Offset
	// Size is the total number of bytes or rumors in all pages.
	Size   int
	Data   []byte
	Rumors []Rumor
}

// CloseAnswer acknowledges one part of a closing record.
type CloseAnswer struct{}

// Service is the receiver of the net/rpc methods registered under the name "Peer". The methods run on goroutines of
// net/rpc and access state only through the node's Executor.
type Service struct{ node *Node }

// Exchange handles a gossip message.
func (s *Service) Exchange(request Exchange, response *Exchange) error {
	n := s.node
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return n.config.Executor.Do(ctx, func() {
		*response = n.gossip.HandleRequest(n.now(), request)
		n.startPulls(request, request.Address)
		n.publishMembers()
	})
}

// Pull returns one page of the configuration or of the rumors of a kind.
func (s *Service) Pull(request PullRequest, response *PullAnswer) error {
	n := s.node
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var err error
	doErr := n.config.Executor.Do(ctx, func() {
		if request.Kind == "" {
			err = n.configurationPage(request, response)
			return
		}
		n.rumorPage(request, response)
	})
	if doErr != nil {
		return doErr
	}
	return err
}

// Close receives one part of a closing record.
func (s *Service) Close(record ClosingRecord, _ *CloseAnswer) error {
	n := s.node
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return n.config.Executor.Do(ctx, func() {
		if n.onClosingRecord != nil {
			n.onClosingRecord(record)
		}
	})
}

// encodedDelta is the encoded configuration delta between two offsets.
type encodedDelta struct {
	after, through logservice.Offset
	data           []byte
}

// configurationPage returns a *SnapshotChangedError if the configuration changed since the first page.
func (n *Node) configurationPage(request PullRequest, response *PullAnswer) error {
	through := n.config.Configuration.AppliedOffset()
	if request.Through != 0 && request.Through != through {
		return &SnapshotChangedError{Address: n.config.Self.PeerAddress}
	}
	if n.cachedDelta.data == nil || n.cachedDelta.after != request.After || n.cachedDelta.through != through {
		data, err := n.config.Configuration.Delta(request.After).Encode()
		if err != nil {
			return err
		}
		n.cachedDelta = encodedDelta{after: request.After, through: through, data: data}
	}
	data := n.cachedDelta.data
	start := min(max(0, request.Start), len(data))
	*response = PullAnswer{Through: through, Size: len(data), Data: data[start:min(len(data), start+pageBytes)]}
	return nil
}

// rumorPage fills response with the rumors of a kind from request.Start on, up to pageBytes.
func (n *Node) rumorPage(request PullRequest, response *PullAnswer) {
	rumors := n.listRumors(request.Kind)
	response.Size = len(rumors)
	estimatedBytes := 0
	for _, r := range rumors[min(max(0, request.Start), len(rumors)):] {
		estimatedBytes += r.estimatedBytes()
		if estimatedBytes > pageBytes {
			return
		}
		response.Rumors = append(response.Rumors, r)
	}
}

// listRumors returns all rumors of a kind in a stable order, so that pages do not overlap.
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
