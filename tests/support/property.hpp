/// @file
/// RapidCheck properties inside Criterion tests.
#pragma once

#include <criterion/criterion.h>
#include <rapidcheck.h>

/// Fails the test if the property does not hold; RapidCheck prints a shrunk counterexample.
#define SHUNTBANK_PROPERTY(description, ...) cr_assert(rc::check(description, __VA_ARGS__))
