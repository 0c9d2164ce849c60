#include "base/revision.h"

namespace camphorrail::base {

std::int64_t fencing_token(const revision& at) {
    return (at.era << token_number_bits) + at.number;
}

} // namespace camphorrail::base
