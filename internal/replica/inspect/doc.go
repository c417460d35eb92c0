// Package inspect works on the data folder of a replica that is not running:
// it verifies the files, dumps the state, writes a backup and starts a new
// cluster from a folder after the majority was lost.
package inspect
