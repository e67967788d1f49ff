// Command rattanpaddle is the entry instance, the operators' client and the
// embedded default in one program.
package main

func main() {}
