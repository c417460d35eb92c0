// Package engine is a stand-in for a model engine. It speaks the endpoint
// protocol, batches generations, and answers with text that is a function of
// the prompt, so that a checker can tell whether an answer is whole.
package engine
