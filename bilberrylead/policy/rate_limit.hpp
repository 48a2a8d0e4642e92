#ifndef BILBERRYLEAD_POLICY_RATE_LIMIT_HPP
#define BILBERRYLEAD_POLICY_RATE_LIMIT_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// A bucket of tokens that fills with time.
///
/// Load it answers: an upstream with cold caches, which crashes under what
/// it bears when warm. Each entry host keeps to its share of the rate, so
/// that the sum holds although none of them sees the others' requests.
class rate_limit
{
public:
    /// Makes a bucket that holds one token and never more than `most`.
    explicit rate_limit(double most_tokens = 1)
        : most(most_tokens), tokens(most_tokens)
    {
    }

    /// True if a token is there.
    bool has_token(double tokens_per_second, instant now) const
    {
        return this->level(tokens_per_second, now) >= 1;
    }

    /// Takes a token; the bucket goes below zero if there is none.
    void take(double tokens_per_second, instant now)
    {
        this->tokens = this->level(tokens_per_second, now) - 1;
        this->counted_at = now;
    }

private:
    double level(double tokens_per_second, instant now) const
    {
        std::chrono::duration<double> const passed = now - this->counted_at;
        double const filled = this->tokens + passed.count() * tokens_per_second;
        return filled < this->most ? filled : this->most;
    }

    double most;
    double tokens;
    instant counted_at{};
};

} // namespace bilberrylead::policy

#endif
