// Package waiting decides which request of a service goes next while no endpoint can take all
// of them, and which requests are refused because no endpoint can take them in time. A Queue
// orders the requests that wait at one entry, a Gate limits what the entry sends to a service
// whose endpoints are full, and an Overload tells when the entry itself has too many requests.
// The package does no I/O, starts no goroutine and reads no clock.
package waiting
