#pragma once

#include "base/codes.h"

#include <boost/outcome/std_result.hpp>

namespace camphorrail::base {

// A value, or the result code that explains why there is none.
template <class T>
using result = boost::outcome_v2::std_result<T>;

} // namespace camphorrail::base
