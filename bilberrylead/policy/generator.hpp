#ifndef BILBERRYLEAD_POLICY_GENERATOR_HPP
#define BILBERRYLEAD_POLICY_GENERATOR_HPP

#include <cstdint>

namespace bilberrylead::policy
{

/// Seeded pseudo-random number generator (SplitMix64). The same seed gives the
/// same decisions on every machine, which the distributions of the standard
/// library do not guarantee. Owned by the object that makes the decisions;
/// eight bytes, no allocation.
class generator
{
public:
    /// Starts the sequence of `seed`.
    explicit constexpr generator(std::uint64_t seed) : state(seed)
    {
    }

    /// The next 64 random bits.
    constexpr std::uint64_t next()
    {
        this->state += 0x9E3779B97F4A7C15U;
        std::uint64_t mixed = this->state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
        return mixed ^ (mixed >> 31U);
    }

    /// A uniform random number from 0 to `limit - 1`; `limit` is at least 1.
    constexpr std::uint32_t below(std::uint32_t limit)
    {
        return static_cast<std::uint32_t>(
            ((this->next() >> 32U) * std::uint64_t{limit}) >> 32U);
    }

    /// A uniform random number in [0, 1).
    constexpr double unit()
    {
        constexpr double step = 1.0 / 9007199254740992.0;
        return static_cast<double>(this->next() >> 11U) * step;
    }

private:
    std::uint64_t state;
};

} // namespace bilberrylead::policy

#endif
