package gateway

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/follower"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/tunneler"
)

const (
	objectsPath = "/objects"
	changesPath = "/changes"
	// fetchTimeout bounds fetching a copy from a peer.
	fetchTimeout = time.Second
	// maxCopyBytes bounds a copy, in bytes.
	maxCopyBytes = 32 << 20
)

// peerClient keeps a connection to each watcher that this daemon follows. copyClient opens a connection for each copy, as the one
// that is kept may have gone silent.
var (
	peerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}}
	copyClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
)

// fetchObjects requests objects or changes from a peer.
func fetchObjects(ctx context.Context, address, path string, query url.Values) (*peerv1.GatewayObjects, error) {
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	client := peerClient
	if path == objectsPath {
		client = copyClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxCopyBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answered %d", address, resp.StatusCode)
	}
	message := &peerv1.GatewayObjects{}
	return message, proto.Unmarshal(data, message)
}

func (g *Gateway) fetchCopy(ctx context.Context, address, prefix string) (follower.Snapshot, error) {
	message, err := g.fetch(ctx, address, objectsPath, url.Values{"prefix": {prefix}})
	if err != nil {
		return follower.Snapshot{}, err
	}
	c := follower.Snapshot{Revision: storer.Point(message.GetRevision())}
	for _, o := range message.GetItems() {
		c.Objects = append(c.Objects, decodeObject(o))
	}
	return c, nil
}

// decodeObject returns the object in a message.
func decodeObject(o *peerv1.GatewayObject) storer.Object {
	return storer.Object{Key: o.GetKey(), Value: o.GetValue(), Version: storer.Point(o.GetVersion())}
}

// peerHandler serves copies and changes of what this daemon follows.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPath, g.serveObjects)
	mux.HandleFunc("GET "+changesPath, g.serveChanges)
	mux.Handle("GET "+tunneler.Path, g.door)
	return mux
}

// requestedFollower returns the follower of the prefix that a request names.
func (g *Gateway) requestedFollower(r *http.Request) *follower.Follower {
	if r.URL.Query().Get("prefix") == g.Settings.ConfigPrefix {
		return g.configFollower
	}
	return g.targetFollower
}

// upstreamOf returns the upstream of a prefix.
func (g *Gateway) upstreamOf(prefix string) *upstream {
	if prefix == g.Settings.ConfigPrefix {
		return g.configUpstream
	}
	return g.targetUpstream
}

func (g *Gateway) serveObjects(w http.ResponseWriter, r *http.Request) {
	c, ok := g.requestedFollower(r).Snapshot()
	if !ok {
		http.Error(w, "nothing is known yet", http.StatusServiceUnavailable)
		return
	}
	// In this order, lists that are equal are compressed once.
	slices.SortFunc(c.Objects, func(a, b storer.Object) int { return strings.Compare(a.Key, b.Key) })
	message := &peerv1.GatewayObjects{}
	for _, o := range c.Objects {
		message.Items = append(message.Items, &peerv1.GatewayObject{Key: o.Key, Value: o.Value, Version: uint64(o.Version)})
	}
	g.writeObjects(w, r, message, c)
}

func (g *Gateway) serveChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	cursor, err := strconv.ParseUint(query.Get("cursor"), 10, 64)
	if err != nil || query.Get("epoch") != strconv.FormatUint(g.epoch, 10) {
		http.Error(w, "the cursor is not of this process", http.StatusGone)
		return
	}
	changes, c, err := g.requestedFollower(r).Since(r.Context(), cursor, peerWait)
	if err != nil {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	message := &peerv1.GatewayObjects{}
	for _, change := range changes {
		o := change.Object
		message.Items = append(message.Items, &peerv1.GatewayObject{Key: o.Key, Value: o.Value, Version: uint64(o.Version), Deleted: change.Deleted})
	}
	g.writeObjects(w, r, message, c)
}

// writeObjects writes an answer to a peer, compressed if that is worth it: a large configuration goes to several peers at once.
func (g *Gateway) writeObjects(w http.ResponseWriter, r *http.Request, message *peerv1.GatewayObjects, c follower.Snapshot) {
	message.Revision, message.Cursor, message.Epoch = uint64(c.Revision), c.Cursor, g.epoch
	data, err := proto.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/protobuf")
	if len(data) >= minCompressBytes && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		if data, err = g.compressor.compress(data); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
	}
	_, _ = w.Write(data)
}
