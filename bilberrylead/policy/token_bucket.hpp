#ifndef BILBERRYLEAD_POLICY_TOKEN_BUCKET_HPP
#define BILBERRYLEAD_POLICY_TOKEN_BUCKET_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// A bucket of tokens that fills with time.
///
/// Load it answers: an upstream with cold caches, which crashes under what
/// it bears when warm. Each entry host keeps to its share of the rate, so
/// that the sum holds although none of them sees the others' requests.
class token_bucket
{
public:
    /// Makes a bucket that holds one token and never more than `most`.
    explicit token_bucket(double capacity = 1)
        : capacity(capacity), tokens(capacity)
    {
    }

    /// True if a token is there.
    bool has_token(double tokens_per_second, instant now) const
    {
        return this->level(tokens_per_second, now) >= 1;
    }

    /// Takes a token; the bucket goes below zero if there is none.
    void consume(double tokens_per_second, instant now)
    {
        this->tokens = this->level(tokens_per_second, now) - 1;
        this->updated_at = now;
    }

private:
    double level(double tokens_per_second, instant now) const
    {
        std::chrono::duration<double> const passed = now - this->updated_at;
        double const filled = this->tokens + passed.count() * tokens_per_second;
        return filled < this->capacity ? filled : this->capacity;
    }

    double capacity;
    double tokens;
    instant updated_at{};
};

} // namespace bilberrylead::policy

#endif
