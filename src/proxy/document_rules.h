#pragma once

#include "mirror/store_mirror.h"
#include "ports/platform_codec.h"

namespace camphorrail::proxy {

// How the mirror compares the platform's documents over a restoration of the store. The operators'
// documents state a version, and an upstream's entry counts its heartbeats since it started.
mirror::document_rules make_document_rules(const ports::platform_codec& codec);

} // namespace camphorrail::proxy
