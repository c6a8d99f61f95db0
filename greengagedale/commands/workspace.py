"""`greengagedale workspace`: declares and shows workspaces."""

from greengagedale.commands import document_commands

app = document_commands.command_group(
    "workspace", "Delete a workspace; its requests are refused from then on."
)
