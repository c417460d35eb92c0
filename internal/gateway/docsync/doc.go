// Package docsync transfers documents in chunks. A document is cut at places that its
// content determines, so that two versions of a document share all chunks but those
// that changed, and a receiver fetches only the chunks that it does not have. The
// chunks are compressed once and shared by all answers. The package does no I/O.
package docsync
