package endpoint

// HTTP paths of the endpoint protocol.
const (
	// PathAnnounce is served by entry daemons: POST Announcement, answered by AnnounceReply.
	PathAnnounce = "/endpoint/v1/announce"
	// PathWithdraw is served by entry daemons: POST Withdrawal.
	PathWithdraw = "/endpoint/v1/withdraw"
	// PathCacheEvents is served by entry daemons: POST CacheEvents.
	PathCacheEvents = "/endpoint/v1/cache"

	// PathGenerate is served by engines: POST GenerateRequest, answered by a stream of Frame.
	PathGenerate = "/engine/v1/generate"
	// PathCancel is served by engines: POST CancelRequest.
	PathCancel = "/engine/v1/cancel"
	// PathKVExport is served by engines: POST KVExportRequest, answered by KVHandle.
	PathKVExport = "/engine/v1/kv/export"
	// PathKVImport is served by engines: POST KVImportRequest.
	PathKVImport = "/engine/v1/kv/import"
	// PathKVData is served by engines to other engines: GET with the query
	// parameter handle, answered by KVHandle when the transfer is complete.
	PathKVData = "/engine/v1/kv/data"
	// PathOrder is served by engines: POST Order, answered by OrderResult.
	PathOrder = "/engine/v1/order"
	// PathPing is served by engines: GET, answered with status 204.
	PathPing = "/engine/v1/ping"
)
