package port

import "context"

// PeerHandler answers one method of the protocol between daemons. Parameters
// and result are encoded by the codec of the package that owns the method.
type PeerHandler func(ctx context.Context, params []byte) ([]byte, error)

// PeerServer registers methods that other daemons can call. Methods must be
// registered before the server starts.
type PeerServer interface {
	Handle(method string, handler PeerHandler)
}

// PeerCaller calls methods of other daemons by their address (IP:port). A
// connection that becomes silent is replaced within a limited time.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, params []byte) ([]byte, error)
	// Notify sends a message without waiting for an answer. Delivery is not
	// guaranteed.
	Notify(ctx context.Context, address, method string, params []byte) error
}
