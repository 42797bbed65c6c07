package main

func printFair(int) {}
