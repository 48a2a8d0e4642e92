#ifndef BILBERRYLEAD_CONFIG_CONFIGURATION_CHANGE_HPP
#define BILBERRYLEAD_CONFIG_CONFIGURATION_CHANGE_HPP

#include "bilberrylead/config/field_change.hpp"

#include <string>
#include <vector>

namespace bilberrylead::config
{

/// What happened to one element.
enum class change_kind
{
    /// It is new.
    added,
    /// It is gone.
    removed,
    /// Some of its fields differ.
    changed,
};

/// One difference between two configurations.
struct configuration_change
{
    /// What happened.
    change_kind kind = change_kind::changed;
    /// The list the element is in, for example upstreams; "configuration"
    /// for fields outside any list.
    std::string list;
    /// The element's name; empty outside any list.
    std::string name;
    /// Fields that differ; for added and removed ones all of them.
    std::vector<field_change> fields;
};

} // namespace bilberrylead::config

#endif
