#pragma once

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

/**
 * Checks a RapidCheck property inside a CppUTest test. On failure RapidCheck
 * prints the seed and a minimal counterexample. RC_PARAMS sets the seed.
 */
#define CHECK_PROPERTY(aDescription, ...)                                      \
  CHECK_TRUE_TEXT(rc::check(aDescription, __VA_ARGS__), aDescription)
