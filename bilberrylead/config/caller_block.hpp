#ifndef BILBERRYLEAD_CONFIG_CALLER_BLOCK_HPP
#define BILBERRYLEAD_CONFIG_CALLER_BLOCK_HPP

#include "bilberrylead/config/labels.hpp"
#include "bilberrylead/core/ids.hpp"

#include <string>

namespace bilberrylead::config
{

/// A block of caller addresses, where it is and what it is labelled.
struct caller_block
{
    /// CIDR form, for example 10.1.0.0/16 or 2001:db8::/32.
    std::string block;
    /// The availability zone nearest to it.
    zone_id zone;
    /// What selectors match.
    config::labels labels;

    friend bool operator==(caller_block const&, caller_block const&) = default;
};

} // namespace bilberrylead::config

#endif
