// Command lab runs the scripted cases of the review. Each case starts instances of the load balancer as separate processes, with
// the command of the deploy file and settings like those of a small deployment, and talks to them as the platform, the servers and
// the clients would. It listens on loopback addresses only.
//
//	lab CASE DIRECTORY
//
// The case writes record.txt into the directory. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With the variable TROUBLE=0 the case leaves its disruption out.
package main
