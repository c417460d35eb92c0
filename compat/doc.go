// Package compat holds tests that run the unmodified OpenAI client library
// against the callers' interface. It is a module of its own, so that the
// library is no dependency of the system.
package compat
