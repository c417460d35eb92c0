// Package engine is a stand-in for a model engine. It implements the endpoint
// protocol and batches generations. The text that it generates is a function of
// the prompt, so that a checker can verify that an answer is complete and correct.
package engine
