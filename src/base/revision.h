#pragma once

#include <compare>
#include <cstdint>

namespace camphorrail::base {

// A point in the history of the platform's store.
//
// The store numbers its changes. If it is restored from an older copy of itself, it continues from
// the copy's number, so the same numbers are given out a second time for other changes. `era`
// increases with each such restoration: only the pair orders the history. The era is 0 if the
// platform does not report one.
struct revision {
    std::int64_t era = 0;
    std::int64_t number = 0;

    constexpr revision() = default;
    // A revision of a platform that does not report eras. Implicit, so that 0 stands for "must not
    // exist" in preconditions.
    constexpr revision(std::int64_t number) : number(number) {}
    constexpr revision(std::int64_t era, std::int64_t number) : era(era), number(number) {}

    friend constexpr auto operator<=>(const revision&, const revision&) = default;
};

// Bits of a fencing token for the number. A store that makes a thousand changes a second needs 34
// years to use up this many numbers.
inline constexpr int token_number_bits = 40;

// The highest era. Fencing tokens stay exact as JSON numbers, which have 53 bits.
inline constexpr std::int64_t max_era = (std::int64_t{1} << (53 - token_number_bits)) - 1;

// A fencing token that increases with the revision, also from one era to the next. Equals the
// number in era 0.
std::int64_t fencing_token(const revision& at);

} // namespace camphorrail::base
