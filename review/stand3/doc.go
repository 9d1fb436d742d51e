// Stand3 plays the scripted cases of the third review. It starts nodes of the project as
// separate processes on loopback addresses, with settings rendered from the template of the
// deploy file, and takes the place of the platform's store, the servers and the clients. It
// judges only what those have seen, and writes that to record.txt.
package main
