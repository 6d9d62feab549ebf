package peer

import (
	"context"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/panicguard"
)

const (
	// pullTimeout limits a pull of all pages.
	pullTimeout = 30 * time.Second
	// minPullInterval is the minimum time between two pulls of a kind, because digests also differ while a rumor is
	// still spreading.
	minPullInterval = time.Second
	// pullBytesPerSecond limits the mean rate of pulled bytes per kind if digests keep differing.
	pullBytesPerSecond = 1000
	// maxSnapshotBytes limits the size of a pulled configuration.
	maxSnapshotBytes = 64 << 20
)

// startPulls starts the pulls for everything in which a peer's message differs from the local state: a higher applied
// offset or other digests. Until the members are complete, it also pulls them. It runs on the control goroutine.
func (n *Node) startPulls(message Exchange, address string) {
	n.config.Configuration.ObservePeerOffset(message.Through)
	if message.Through > n.config.Configuration.AppliedOffset() && n.pullingConfiguration.CompareAndSwap(false, true) {
		after := n.config.Configuration.AppliedOffset()
		go n.pullConfiguration(address, after)
	}
	if !n.membersPulled {
		n.startPull(address, KindMember)
	}
	for _, remote := range message.Digests {
		handler, ok := n.gossip.handlers[remote.Kind]
		if ok && handler.Digest != nil && handler.Digest() != remote.Digest {
			n.startPull(address, remote.Kind)
		}
	}
}

// startPull starts a pull of a kind unless one is running or the last one was too recent.
func (n *Node) startPull(address string, kind Kind) {
	if n.now() < n.nextPull[kind] {
		return
	}
	n.nextPull[kind] = n.now() + pullTimeout
	go n.pullKind(address, kind)
}

// pullKind pulls all rumors of a kind and merges them. After an error it merges the pages received so far.
func (n *Node) pullKind(address string, kind Kind) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var rumors []Rumor
	var err error
	estimatedBytes := 0
	for {
		var page PullAnswer
		err = n.connPool.call(ctx, address, "Peer.Pull", PullRequest{Kind: kind, Start: len(rumors)}, &page)
		if err != nil {
			n.config.Log.Warn("Could not pull from a peer.", "peer", address, "kind", string(kind), "error", err)
			break
		}
		rumors = slices.Concat(rumors, page.Rumors)
		for _, r := range page.Rumors {
			estimatedBytes += r.estimatedBytes()
		}
		if len(page.Rumors) == 0 || len(rumors) >= page.Size {
			break
		}
	}
	_ = n.config.Executor.Do(ctx, func() {
		knownMembers := len(n.gossip.members)
		n.gossip.Merge(n.now(), rumors)
		n.publishMembers()
		// Peers that started at the same time know few members themselves, so pull until no new member is found.
		n.membersPulled = n.membersPulled || kind == KindMember && err == nil && len(n.gossip.members) == knownMembers
		n.nextPull[kind] = n.now() + max(minPullInterval, time.Duration(estimatedBytes)*time.Second/pullBytesPerSecond)
	})
}

// pullConfiguration pulls the changes of the configuration after an offset and merges them.
func (n *Node) pullConfiguration(address string, after logservice.Offset) {
	defer n.pullingConfiguration.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	data, err := n.pullSnapshot(ctx, address, after)
	if err == nil {
		err = n.mergeSnapshot(ctx, data)
	}
	if err != nil {
		n.config.Log.Warn("Could not pull the configuration from a peer.", "peer", address, "error", err)
	}
}

// pullSnapshot returns the encoded delta after an offset, pulled page by page.
func (n *Node) pullSnapshot(ctx context.Context, address string, after logservice.Offset) ([]byte, error) {
	request := PullRequest{After: after}
	var data []byte
	for {
		var page PullAnswer
		if err := n.connPool.call(ctx, address, "Peer.Pull", request, &page); err != nil {
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

// mergeSnapshot decodes a delta and merges it on the control goroutine.
func (n *Node) mergeSnapshot(ctx context.Context, data []byte) error {
	var delta *intent.Delta
	err := panicguard.Catch(func() (err error) {
		delta, err = intent.DecodeDelta(data)
		return err
	})
	if err != nil {
		return err
	}
	doErr := n.config.Executor.Do(ctx, func() { err = n.config.Configuration.Merge(delta) })
	if doErr != nil {
		return doErr
	}
	return err
}
