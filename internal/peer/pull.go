package peer

import (
	"context"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
)

const (
	// pullTimeout bounds a pull of all pages.
	pullTimeout = 30 * time.Second
	// pullPause is the least time between two pulls of one kind, because a rumor on its way makes digests differ.
	pullPause = time.Second
	// pullBytesPerSecond bounds what pulls of one kind cost when digests keep differing.
	pullBytesPerSecond = 1000
	// maxSnapshotBytes bounds a pulled configuration.
	maxSnapshotBytes = 64 << 20
)

// compare starts a pull when a peer knows more. It runs on the control goroutine.
func (n *Node) compare(message Exchange, address string) {
	n.config.Configuration.ObservePeerOffset(message.Through)
	if message.Through > n.config.Configuration.AppliedOffset() && n.pulling.CompareAndSwap(false, true) {
		after := n.config.Configuration.AppliedOffset()
		go n.pullConfiguration(address, after)
	}
	if !n.joined {
		n.startPull(address, KindMember)
	}
	for _, theirs := range message.Digests {
		handler, ok := n.gossip.handlers[theirs.Kind]
		if ok && handler.Digest != nil && handler.Digest() != theirs.Digest {
			n.startPull(address, theirs.Kind)
		}
	}
}

func (n *Node) startPull(address string, kind Kind) {
	if n.now() < n.nextPull[kind] {
		return
	}
	n.nextPull[kind] = n.now() + pullTimeout
	go n.pullKind(address, kind)
}

// pullKind pulls all rumors of a kind and merges them.
func (n *Node) pullKind(address string, kind Kind) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var rumors []Rumor
	var err error
	bytes := 0
	for {
		var page PullAnswer
		err = n.links.call(ctx, address, "Peer.Pull", PullRequest{Kind: kind, Start: len(rumors)}, &page)
		if err != nil {
			n.config.Log.Warn("Cannot pull from a peer.", "peer", address, "kind", string(kind), "error", err)
			break
		}
		rumors = slices.Concat(rumors, page.Rumors)
		for _, r := range page.Rumors {
			bytes += r.bytes()
		}
		if len(page.Rumors) == 0 || len(rumors) >= page.Size {
			break
		}
	}
	_ = n.config.Executor.Do(ctx, func() {
		before := len(n.gossip.members)
		n.gossip.Merge(n.now(), rumors)
		n.publishMembers()
		// Instances that start together know few others at first, so that a joining one pulls until nothing is new.
		n.joined = n.joined || kind == KindMember && err == nil && len(n.gossip.members) == before
		n.nextPull[kind] = n.now() + max(pullPause, time.Duration(bytes)*time.Second/pullBytesPerSecond)
	})
}

// pullConfiguration pulls what changed after an offset and merges it.
func (n *Node) pullConfiguration(address string, after logservice.Offset) {
	defer n.pulling.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	data, err := n.pullSnapshot(ctx, address, after)
	if err == nil {
		err = n.mergeSnapshot(ctx, data)
	}
	if err != nil {
		n.config.Log.Warn("Cannot pull the configuration from a peer.", "peer", address, "error", err)
	}
}

func (n *Node) pullSnapshot(ctx context.Context, address string, after logservice.Offset) ([]byte, error) {
	request := PullRequest{After: after}
	var data []byte
	for {
		var page PullAnswer
		if err := n.links.call(ctx, address, "Peer.Pull", request, &page); err != nil {
			return nil, err
		}
		data = append(data, page.Data...)
		switch {
		case page.Size > maxSnapshotBytes:
			return nil, &SizeError{Bytes: page.Size}
		case len(data) >= page.Size:
			return data, nil
		case len(page.Data) == 0:
			return nil, &SnapshotChangedError{Address: address}
		}
		request.Through, request.Start = page.Through, len(data)
	}
}

func (n *Node) mergeSnapshot(ctx context.Context, data []byte) error {
	delta, err := intent.DecodeDelta(data)
	if err != nil {
		return err
	}
	doErr := n.config.Executor.Do(ctx, func() { err = n.config.Configuration.Merge(delta) })
	if doErr != nil {
		return doErr
	}
	return err
}
