package link

import "github.com/boragelead/boragelead/internal/gateway/rollout"

// MethodRollout is called by state replicas on the leader, to pass on an order of an
// operator.
const MethodRollout = "gateway.rollout"

// RolloutRequest is an order of an operator for a roll-out.
type RolloutRequest struct {
	Service string `msgpack:"s"`
	// To and DurationMS are those of the order. They are not set for an abort.
	To         string `msgpack:"t,omitempty"`
	DurationMS int64  `msgpack:"d,omitempty"`
	// Abort is set if the newest roll-out of the service is to be reverted.
	Abort    bool   `msgpack:"a,omitempty"`
	Operator string `msgpack:"o,omitempty"`
}

// RolloutRefusal says why the leader did not carry out an order.
type RolloutRefusal uint8

// Refusals of orders.
const (
	// RolloutAccepted means that the order is committed to the log.
	RolloutAccepted RolloutRefusal = iota
	// RolloutUnknownService means that the rules in force do not have the service.
	RolloutUnknownService
	// RolloutRunning means that another roll-out of the service runs.
	RolloutRunning
	// RolloutEnded means that the roll-out to abort is completed.
	RolloutEnded
	// RolloutNone means that there is no roll-out to abort.
	RolloutNone
)

// RolloutReply answers a RolloutRequest. Record is the newest roll-out of the service.
type RolloutReply struct {
	Refusal RolloutRefusal `msgpack:"c,omitempty"`
	Record  rollout.Record `msgpack:"r"`
}
