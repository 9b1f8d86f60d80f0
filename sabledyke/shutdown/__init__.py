"""What a scheduler does around the end of its life, so that the next one begins without a gap."""
