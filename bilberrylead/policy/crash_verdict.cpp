#include "bilberrylead/policy/crash_verdict.hpp"

namespace bilberrylead::policy
{

std::string_view to_string(crash_verdict verdict)
{
    switch (verdict)
    {
    case crash_verdict::unrestricted:
        return "unrestricted";
    case crash_verdict::restricted:
        return "restricted";
    case crash_verdict::refused:
        break;
    }
    return "refused";
}

} // namespace bilberrylead::policy
