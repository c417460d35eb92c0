// Package inspect operates on the data folder of a replica that is not running. It
// verifies the files, dumps the state, writes and restores backups, and creates a new
// cluster from a data folder after the majority of the replicas was lost.
package inspect
