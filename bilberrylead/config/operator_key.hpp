#ifndef BILBERRYLEAD_CONFIG_OPERATOR_KEY_HPP
#define BILBERRYLEAD_CONFIG_OPERATOR_KEY_HPP

#include <string>

namespace bilberrylead::config
{

/// An operator who may change the configuration. Each has a key of their
/// own, so that the audit trail can say who changed what.
struct operator_key
{
    /// Who it is, unique among the operators.
    std::string name;
    /// What they prove themselves with; 32 to 256 letters. Never logged.
    std::string key;

    friend bool operator==(operator_key const&, operator_key const&) = default;
};

} // namespace bilberrylead::config

#endif
