// Entry point shared by all unit-test programs.

#define BOOST_TEST_MODULE ibiswall
#include <boost/test/unit_test.hpp>
