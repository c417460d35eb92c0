// Package compat contains tests that run the unmodified OpenAI client library
// against the callers' interface. It is a separate module, so that the main
// module does not depend on that library.
package compat
