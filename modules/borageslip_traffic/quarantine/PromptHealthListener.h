#pragma once

#include "PromptQuarantine.h"

namespace borageslip {

/** Is notified of what this instance observes about prompts, so that the other instances learn of it. */
class PromptHealthListener {
public:
    virtual ~PromptHealthListener() = default;

    /** A backend server has crashed. */
    virtual void serverCrashed(const ServerCrash&) = 0;

    /** A response has cleared suspected prompt parts. */
    virtual void partsCleared(const PromptFingerprint&) = 0;
};

}
