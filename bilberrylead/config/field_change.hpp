#ifndef BILBERRYLEAD_CONFIG_FIELD_CHANGE_HPP
#define BILBERRYLEAD_CONFIG_FIELD_CHANGE_HPP

#include <string>

namespace bilberrylead::config
{

/// One field that differs.
struct field_change
{
    /// The field's name as in the text.
    std::string field;
    /// Its JSON before; empty if there was none.
    std::string before;
    /// Its JSON after; empty if there is none.
    std::string after;

    friend bool operator==(field_change const&, field_change const&) = default;
};

} // namespace bilberrylead::config

#endif
