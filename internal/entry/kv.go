package entry

import "context"

// kvTransfer is a KV cache that was exported from a leaving endpoint.
type kvTransfer struct {
	handle string
	tokens int
}


// exportKV is the hook for the transfer of the KV cache; resumption by prefill
// is the fallback that always works.
func (g *generation) exportKV(context.Context, *pump) {}
